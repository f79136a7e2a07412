/** Names of the scenarios of compound faults. Faults are drawn in this order, so changing it changes every seeded day. */
export const SCENARIO_NAMES = [
  'lateWrites',
  'lateHeartbeats',
  'inboundLoss',
  'stateRefuses',
  'stateSlow',
  'rollingRefusal',
  'isolatedLeader',
  'staggeredCompletions',
  'stalledMachine',
  'handover',
  'concurrentReads',
  'cancelAtCompletion',
  'cancelAndHang',
  'cancelDuringHandover',
  'atLimit',
  'lostResponses',
  'manySmallJobs',
  'fastBoots',
  'outboundLoss',
  'staleHeartbeats',
  'leaderChurn',
  'zonePartition',
  'totalOutage',
  'zoneMachineLoss',
  'overload',
  'invalidRequests',
] as const;

/** The name of a scenario. */
export type ScenarioName = (typeof SCENARIO_NAMES)[number];
