/** The stand-in for a plain HTTP service that echoes and counts its calls. */
@NullMarked
package io.hawthornlb.standin.service;

import org.jspecify.annotations.NullMarked;
