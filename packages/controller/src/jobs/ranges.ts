/** Sets of task numbers written as sorted ranges: "0-3,7". */
export const encodeRanges = (numbers: Iterable<number>): string => {
  const sorted = [...numbers].sort((a, b) => a - b);
  const out: string[] = [];
  for (let i = 0; i < sorted.length;) {
    let j = i;
    while (j + 1 < sorted.length && sorted[j + 1] === sorted[j]! + 1) j++;
    out.push(i === j ? `${sorted[i]}` : `${sorted[i]}-${sorted[j]}`);
    i = j + 1;
  }
  return out.join(',');
};

export const decodeRanges = (text: string): number[] => {
  const out: number[] = [];
  if (text === '') return out;
  for (const part of text.split(',')) {
    const dash = part.indexOf('-');
    const from = Number(dash < 0 ? part : part.slice(0, dash));
    const to = dash < 0 ? from : Number(part.slice(dash + 1));
    for (let n = from; n <= to; n++) out.push(n);
  }
  return out;
};
