/** What a run measured, as data and as pages. */
@NullMarked
package io.hawthornlb.standin.report;

import org.jspecify.annotations.NullMarked;
