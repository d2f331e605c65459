/** Detection of requests that crash the endpoints on which they run. */
@NullMarked
package io.hawthornlb.core.suspect;

import org.jspecify.annotations.NullMarked;
