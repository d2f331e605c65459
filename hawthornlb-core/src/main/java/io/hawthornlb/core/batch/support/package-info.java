/** Stewards, their queue of items and their estimate of the room that online requests need. */
@NullMarked
package io.hawthornlb.core.batch.support;

import org.jspecify.annotations.NullMarked;
