/** Logging setup: one line per event, with time, level and the name of the part. */
@NullMarked
package io.hawthornlb.app.logging;

import org.jspecify.annotations.NullMarked;
