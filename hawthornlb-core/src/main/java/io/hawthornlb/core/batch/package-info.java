/** Places batch items in room that online requests leave, and takes the room back on a burst. */
@NullMarked
package io.hawthornlb.core.batch;

import org.jspecify.annotations.NullMarked;
