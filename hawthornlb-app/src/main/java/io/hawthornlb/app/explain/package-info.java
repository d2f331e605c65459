/** Finds the way of one request, job or item through the logs of several instances. */
@NullMarked
package io.hawthornlb.app.explain;

import org.jspecify.annotations.NullMarked;
