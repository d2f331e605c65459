/** The fold of the catalogue, the checks of edits, and the editor that appends edits to the log. */
@NullMarked
package io.hawthornlb.core.catalogue.support;

import org.jspecify.annotations.NullMarked;
