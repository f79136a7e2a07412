/**
 * The image cache of one machine. Tasks that need the same image share one fetch; the least recently used is evicted.
 */
import { nowMs } from './clock.js';
import { IMAGE_CACHE_GB, IMAGE_FETCH_GB_PER_S, type JobDescription } from './model.js';

/** Lower bound of an image's size, so that an image of size 0 does not make the cache unlimited. */
const MIN_IMAGE_GB = 0.1;

/** Images in order of their last use. The capacity is computed as if all images had the size of the requested one. */
export class ImageCache {
  /** Time at which the fetch of each image ends or ended, in milliseconds of `nowMs`. */
  private readonly readyAt = new Map<string, number>();

  /** Returns the milliseconds until the job's image is available; 0 if it is cached. */
  fetchMs({ image, imageGb }: JobDescription): number {
    const now = nowMs();
    const imageReadyAt = this.readyAt.get(image) ?? now + (imageGb / IMAGE_FETCH_GB_PER_S) * 1000;
    this.readyAt.delete(image);
    this.readyAt.set(image, imageReadyAt);
    const maxImages = Math.max(1, Math.floor(IMAGE_CACHE_GB / Math.max(imageGb, MIN_IMAGE_GB)));
    for (const [oldest] of this.readyAt) {
      if (this.readyAt.size <= maxImages) break;
      this.readyAt.delete(oldest);
    }
    return Math.max(0, imageReadyAt - now);
  }
}
