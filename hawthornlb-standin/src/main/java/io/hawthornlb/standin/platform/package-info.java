/** The stand-in of the platform: log, instance list and weight store. */
@NullMarked
package io.hawthornlb.standin.platform;

import org.jspecify.annotations.NullMarked;
