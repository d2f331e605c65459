/**
 * Admission control: decides which requests start now, which wait, and which are refused at once.
 */
@NullMarked
package io.hawthornlb.core.admission;

import org.jspecify.annotations.NullMarked;
