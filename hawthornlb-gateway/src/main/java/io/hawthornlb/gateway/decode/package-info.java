/**
 * Decodes values of other writers: the result is a valid value, or one error that names the place.
 */
@NullMarked
package io.hawthornlb.gateway.decode;

import org.jspecify.annotations.NullMarked;
