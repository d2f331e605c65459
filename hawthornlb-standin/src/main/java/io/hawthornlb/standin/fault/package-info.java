/** Fault injection: faults that a test activates in a stand-in. */
@NullMarked
package io.hawthornlb.standin.fault;

import org.jspecify.annotations.NullMarked;
