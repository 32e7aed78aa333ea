/** Classes per doubling of the size, as a power of 2: sizes of a class differ by an eighth at most. */
const CLASS_BITS = 3;
const CLASSES_PER_DOUBLING = 2 ** CLASS_BITS;
/** Number of bits of the largest size. */
const SIZE_BITS = 53;

/** Returns the class of a size in bytes. */
function classOf(bytes: number): number {
  if (bytes < CLASSES_PER_DOUBLING) return bytes;
  const doublings = Math.min(SIZE_BITS, Math.floor(Math.log2(bytes)));
  return (
    (doublings - CLASS_BITS + 1) * CLASSES_PER_DOUBLING +
    Math.floor(bytes / 2 ** (doublings - CLASS_BITS)) -
    CLASSES_PER_DOUBLING
  );
}

/** Items by size. A change of a size and the search for a large item cost the same for any number of items. */
export class SizeClasses<Item> {
  private readonly classes: Set<Item>[] = [];

  private readonly classByItem = new Map<Item, number>();

  /** Sets the size of an item, and adds it if it is new. */
  set(item: Item, bytes: number): void {
    const next = classOf(bytes);
    const present = this.classByItem.get(item);
    if (present === next) return;
    if (present !== undefined) this.classes[present]?.delete(item);
    this.classByItem.set(item, next);
    while (this.classes.length <= next) this.classes.push(new Set());
    this.classes[next]?.add(item);
  }

  /** Removes an item. */
  delete(item: Item): void {
    const present = this.classByItem.get(item);
    if (present === undefined) return;
    this.classes[present]?.delete(item);
    this.classByItem.delete(item);
  }

  /** Returns an item of the class of the largest sizes, the one that has been in it for longest; undefined if
   * no item has a size. */
  largest(): Item | undefined {
    for (let index = this.classes.length - 1; index > 0; index -= 1) {
      const [item] = this.classes[index] ?? [];
      if (item !== undefined) return item;
    }
    return undefined;
  }
}
