/**
 * Simulated instances with fakes of log, peers and endpoints, driven by virtual time and a seed.
 */
@NullMarked
package io.hawthornlb.core.harness;

import org.jspecify.annotations.NullMarked;
