/** Identifiers and values that all other packages share. */
@NullMarked
package io.hawthornlb.core.model;

import org.jspecify.annotations.NullMarked;
