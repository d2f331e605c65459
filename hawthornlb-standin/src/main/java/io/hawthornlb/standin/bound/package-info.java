/** The worth that no policy can exceed on a day, from its slots, losses and arrivals. */
@NullMarked
package io.hawthornlb.standin.bound;

import org.jspecify.annotations.NullMarked;
