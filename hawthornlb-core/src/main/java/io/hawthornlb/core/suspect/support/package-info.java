/** Implementations of the table of suspect requests. */
@NullMarked
package io.hawthornlb.core.suspect.support;

import org.jspecify.annotations.NullMarked;
