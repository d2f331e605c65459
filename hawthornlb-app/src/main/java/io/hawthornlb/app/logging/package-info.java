/** Logs: one line an event, with time, level and the prefix of a part. */
@NullMarked
package io.hawthornlb.app.logging;

import org.jspecify.annotations.NullMarked;
