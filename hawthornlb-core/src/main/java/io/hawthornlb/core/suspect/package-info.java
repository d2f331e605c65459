/** Requests that crash the endpoints they reach. */
@NullMarked
package io.hawthornlb.core.suspect;

import org.jspecify.annotations.NullMarked;
