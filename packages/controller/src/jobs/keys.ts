/** The layout of the state store. Everything the service keeps stands below one prefix, so one watch feeds a node. */
export const ROOT = 's/';
export const ACTIVE = 's/j/a/';
export const FINAL = 's/j/z/';
export const RECORD = 's/r/';
export const LEADER = 's/leader';
export const TERM = 's/term';
export const TYPES = 's/types';

export const activeKey = (id: string): string => ACTIVE + id;
export const finalKey = (id: string): string => FINAL + id;
export const recordKey = (seq: number): string => RECORD + String(seq).padStart(12, '0');
