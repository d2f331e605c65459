/** The stand-in of a plain service that counts its calls. */
@NullMarked
package io.hawthornlb.standin.service;

import org.jspecify.annotations.NullMarked;
