/** Structured log with one line for each decision, bounded and non-blocking. */
@NullMarked
package io.hawthornlb.gateway.event;

import org.jspecify.annotations.NullMarked;
