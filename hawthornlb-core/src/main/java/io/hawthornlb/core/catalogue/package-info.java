/** The catalogue: the services and workspaces that operators declare. */
@NullMarked
package io.hawthornlb.core.catalogue;

import org.jspecify.annotations.NullMarked;
