/** Routes, services and limits that are in force, by version. */
@NullMarked
package io.hawthornlb.gateway.route;

import org.jspecify.annotations.NullMarked;
