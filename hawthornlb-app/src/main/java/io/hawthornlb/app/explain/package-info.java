/** Explains from the logs of several instances what happened to one request, job or item. */
@NullMarked
package io.hawthornlb.app.explain;

import org.jspecify.annotations.NullMarked;
