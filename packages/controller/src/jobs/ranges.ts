/** The stored form of sets of task numbers: sorted ranges, for example "0-3,7". */

/** Encodes a set of distinct numbers. */
export const encodeRanges = (numbers: Iterable<number>): string => {
  const sorted = [...numbers].sort((a, b) => a - b);
  const ranges: string[] = [];
  for (let first = 0; first < sorted.length;) {
    let last = first;
    while (last + 1 < sorted.length && sorted[last + 1] === sorted[last]! + 1) last++;
    ranges.push(first === last ? `${sorted[first]}` : `${sorted[first]}-${sorted[last]}`);
    first = last + 1;
  }
  return ranges.join(',');
};

/** Decodes what `encodeRanges` has written, in ascending order. */
export const decodeRanges = (text: string): number[] => {
  const numbers: number[] = [];
  if (text === '') return numbers;
  for (const range of text.split(',')) {
    const dash = range.indexOf('-');
    const from = Number(dash < 0 ? range : range.slice(0, dash));
    const to = dash < 0 ? from : Number(range.slice(dash + 1));
    for (let number = from; number <= to; number++) numbers.push(number);
  }
  return numbers;
};
