/** Routes, services and limits of a configuration version. */
@NullMarked
package io.hawthornlb.gateway.route;

import org.jspecify.annotations.NullMarked;
