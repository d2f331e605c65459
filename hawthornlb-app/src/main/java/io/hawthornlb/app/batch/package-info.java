/** Executes items of jobs at the endpoints for which this instance is the dispatcher. */
@NullMarked
package io.hawthornlb.app.batch;

import org.jspecify.annotations.NullMarked;
