/** The stand-in for the platform: record log, instance list and weight store. */
@NullMarked
package io.hawthornlb.standin.platform;

import org.jspecify.annotations.NullMarked;
