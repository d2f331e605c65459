/**
 * State of endpoints, derived from the delayed list of processes, load reports, and observations of
 * requests.
 */
@NullMarked
package io.hawthornlb.core.endpoint;

import org.jspecify.annotations.NullMarked;
