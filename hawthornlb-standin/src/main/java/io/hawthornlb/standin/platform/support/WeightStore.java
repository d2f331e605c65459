package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.support.TokenBucket;

/**
 * The settings of the weight store, which serves weights of the same size for every model name.
 *
 * @param bucket limits the rate of reads
 * @param bytes the size of the weights in bytes
 */
public record WeightStore(TokenBucket bucket, int bytes) {}
