/** Counters and latency histograms, for whoever scrapes them. */
@NullMarked
package io.hawthornlb.gateway.metric;

import org.jspecify.annotations.NullMarked;
