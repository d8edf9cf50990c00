/** Seeded random numbers of the soak. */

/** Random numbers from 0 up to 1 (mulberry32). */
export function seededRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

export function pick(items, random) {
  return items[Math.floor(random() * items.length)];
}

/** A whole number of the range, both ends included. */
export function between(from, to, random) {
  return from + Math.floor(random() * (to - from + 1));
}
