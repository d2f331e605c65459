/** Carries online requests from admission over routing to an endpoint and back. */
@NullMarked
package io.hawthornlb.app.dispatch;

import org.jspecify.annotations.NullMarked;
