/** A transaction of the state service and its wire form. */
/** A condition of a transaction: the key's revision is unchanged; 0: the key does not exist. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}
/** One write of a transaction. `lease`: the key is deleted when that lease expires. */
export type Write =
  { readonly set: string; readonly value: unknown; readonly lease?: number } | { readonly delete: string };

/** Returns the body of a transaction's request, with the service's field names. */
export const wireTransaction = (when: readonly Condition[], then: readonly Write[]) => ({
  when: when.map((condition) => ({ k: condition.key, stamp: condition.revision })),
  then: then.map((write) =>
    'set' in write ? { set: write.set, value: write.value, tenancy: write.lease } : { delete: write.delete },
  ),
});
