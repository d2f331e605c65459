/** The echo service and the controllers of the service stand-in. */
@NullMarked
package io.hawthornlb.standin.service.support;

import org.jspecify.annotations.NullMarked;
