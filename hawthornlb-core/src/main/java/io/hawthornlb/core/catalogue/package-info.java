/** The catalogue: what operators declare about services and workspaces. */
@NullMarked
package io.hawthornlb.core.catalogue;

import org.jspecify.annotations.NullMarked;
