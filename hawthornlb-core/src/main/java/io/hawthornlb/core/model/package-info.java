/** Identifiers and values that every other package shares. */
@NullMarked
package io.hawthornlb.core.model;

import org.jspecify.annotations.NullMarked;
