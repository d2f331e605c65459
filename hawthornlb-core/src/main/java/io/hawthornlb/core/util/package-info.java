/** Utilities shared by all packages: argument checks and content digests. */
@NullMarked
package io.hawthornlb.core.util;

import org.jspecify.annotations.NullMarked;
