/** Runs online requests through admission and routing to an endpoint and returns the answers. */
@NullMarked
package io.hawthornlb.app.dispatch;

import org.jspecify.annotations.NullMarked;
