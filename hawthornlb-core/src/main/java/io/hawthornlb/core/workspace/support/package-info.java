/** Implementations of the contracts for workspaces. */
@NullMarked
package io.hawthornlb.core.workspace.support;

import org.jspecify.annotations.NullMarked;
