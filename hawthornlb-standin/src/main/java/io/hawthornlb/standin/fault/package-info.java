/** Faults that a test switches on in a stand-in. */
@NullMarked
package io.hawthornlb.standin.fault;

import org.jspecify.annotations.NullMarked;
