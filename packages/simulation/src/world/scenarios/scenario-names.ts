/** The scenarios of compound faults, by name. Their order is part of what a seed means: faults are drawn by it. */
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

/** One of them. */
export type ScenarioName = (typeof SCENARIO_NAMES)[number];
