/** Argument checks shared by all packages. */
@NullMarked
package io.hawthornlb.core.util;

import org.jspecify.annotations.NullMarked;
