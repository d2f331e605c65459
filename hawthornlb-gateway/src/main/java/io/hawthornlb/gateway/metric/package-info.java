/** Counters and latency histograms, exposed for scraping. */
@NullMarked
package io.hawthornlb.gateway.metric;

import org.jspecify.annotations.NullMarked;
