/** Results of a load test run, as records and as report files. */
@NullMarked
package io.hawthornlb.standin.report;

import org.jspecify.annotations.NullMarked;
