/** The images of one machine: one fetch serves all tasks that wait for it, and the least recently used ones go. */
import { nowMs } from './clock.js';
import { IMAGE_CACHE_GB, IMAGE_FETCH_GB_PER_S, type JobDescription } from './model.js';

/** Counts room as if all images were as large as the one that is asked for. */
const LEAST_IMAGE_GB = 0.1;

/** Images by name, the least recently used first. */
export class ImageCache {
  /** When each image is there, or will be; milliseconds of `nowMs`. */
  private readonly readyAt = new Map<string, number>();

  /** Milliseconds until the job's image is there; 0: it is. */
  fetchMs({ image, imageGb }: JobDescription): number {
    const now = nowMs();
    const ready = this.readyAt.get(image) ?? now + (imageGb / IMAGE_FETCH_GB_PER_S) * 1000;
    this.readyAt.delete(image);
    this.readyAt.set(image, ready);
    const most = Math.max(1, Math.floor(IMAGE_CACHE_GB / Math.max(imageGb, LEAST_IMAGE_GB)));
    for (const [oldest] of this.readyAt) {
      if (this.readyAt.size <= most) break;
      this.readyAt.delete(oldest);
    }
    return Math.max(0, ready - now);
  }
}
