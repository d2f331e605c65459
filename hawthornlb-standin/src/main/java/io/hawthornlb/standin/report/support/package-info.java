/** Recording of measurements, JSON, plots and HTML. */
@NullMarked
package io.hawthornlb.standin.report.support;

import org.jspecify.annotations.NullMarked;
