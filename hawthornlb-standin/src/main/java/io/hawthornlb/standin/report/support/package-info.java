/** Recorders of measurements and writers of the JSON, PNG and HTML reports. */
@NullMarked
package io.hawthornlb.standin.report.support;

import org.jspecify.annotations.NullMarked;
