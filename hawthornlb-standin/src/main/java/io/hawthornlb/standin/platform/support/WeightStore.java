package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.support.TokenBucket;

/**
 * The weights of any model, all of one size.
 *
 * @param bucket the rate of reads
 * @param bytes the size of an answer
 */
public record WeightStore(TokenBucket bucket, int bytes) {}
