/** Executes items of jobs at the endpoints whose steward this instance is. */
@NullMarked
package io.hawthornlb.app.batch;

import org.jspecify.annotations.NullMarked;
