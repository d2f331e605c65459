/** Workspaces of a configuration: their API keys, priorities and rate limits. */
@NullMarked
package io.hawthornlb.core.workspace;

import org.jspecify.annotations.NullMarked;
