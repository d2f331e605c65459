/** Reads what other writers may have written: a good value, or one error that names the place. */
@NullMarked
package io.hawthornlb.gateway.decode;

import org.jspecify.annotations.NullMarked;
