package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.support.TokenBucket;

/** Limits the rate of append calls over all streams. */
public record AppendLimit(TokenBucket bucket) {}
