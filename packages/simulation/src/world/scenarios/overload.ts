/** Submits more work, normal and urgent, than all machines that can be rented hold, over slow or lossy links. */
import { ZONES } from '@lilacvalve/controller/support/settings';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

export const overload = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let active = false;
  return {
    begin() {
      if (active) return;
      active = true;
      world.recordInjection('overload');
      const durationUs = random.between(40e6, 70e6);
      let degradedLinks = 0;
      const endpoints = ['state', 'users', ...world.nodes, ...ZONES.map((zone) => `zone:${zone}`)];
      for (const from of world.nodes)
        for (const to of endpoints)
          if (from !== to && random.chance(0.6)) {
            const state = random.chance(0.6) ? 'slow' : 'lossy';
            world.link(from, to, state, durationUs);
            if (random.chance(0.7)) world.link(to, from, state, durationUs);
            degradedLinks++;
          }
      const submitJobs = (count: number, urgency: 'normal' | 'high', withinUs: number): string[] => {
        const ids: string[] = [];
        for (let i = 0; i < count; i++)
          kit.after(random.between(0, withinUs), () => {
            // Team `red` has a limit, which it must not exceed while its less urgent tasks are being preempted.
            const limited = random.chance(0.25);
            const job = {
              ...PLAIN_JOB,
              team: limited ? 'red' : 'blue',
              tasks: limited ? 3 : 4 + random.int(3),
              cpus: 4,
              saveEvery: random.chance(0.5) ? 5e6 : 0,
              oneZone: random.chance(0.2),
              runUs: limited ? random.between(8e6, 15e6) : random.between(15e6, 30e6),
            };
            const id = world.submit({ job, urgency, due: null }, () => world.anyController());
            if (id !== undefined) ids.push(id);
          });
        return ids;
      };
      const normalIds = submitJobs(12, 'normal', 6e6);
      let urgentIds: string[] = [];
      kit.after(random.between(18e6, 26e6), () => {
        urgentIds = submitJobs(5, 'high', 4e6);
      });
      const recorded = new Set<string>();
      const recordOnce = (name: string): void => {
        if (!recorded.has(name)) kit.record(name);
        recorded.add(name);
      };
      const until = world.time.now + durationUs;
      const check = (): void => {
        const placedTasks = new Set<string>();
        const preempted = new Set<string>();
        let usedCpus = 0;
        for (const worker of world.workers.values())
          for (const task of worker.tasks.values()) {
            const id = task.key.slice(0, task.key.indexOf('/'));
            if (task.status === 'flushing' || task.cause === 'stopped') preempted.add(id);
            if (task.status === 'ended') continue;
            placedTasks.add(task.key);
            usedCpus += world.jobs.get(id)?.cpus ?? 0;
          }
        let waitingCpus = 0;
        for (const id of [...normalIds, ...urgentIds]) {
          const job = world.jobs.get(id);
          if (job === undefined || world.rules.state(id) !== 'accepted') continue;
          for (let i = 0; i < job.tasks; i++)
            if (!job.finished.has(i) && !placedTasks.has(`${id}/${i}`)) waitingCpus += job.cpus;
        }
        const totalCpus = world.workers.size * 8;
        if (degradedLinks > 0 && world.workers.size >= 6 && waitingCpus > totalCpus - usedCpus + 16)
          recordOnce('more work than capacity, over slow links');
        if (normalIds.some((id) => preempted.has(id))) recordOnce('task preempted for urgent work');
        const hasStarted = (id: string): boolean => [...placedTasks].some((key) => key.startsWith(`${id}/`));
        if (
          urgentIds.some(hasStarted) &&
          normalIds.some((id) => !hasStarted(id) && world.jobs.get(id)!.finished.size === 0)
        )
          recordOnce('urgent job started before an earlier normal job');
        if (world.time.now < until) kit.after(500_000, check);
        else finish();
      };
      const finish = (): void => void (active = false);
      check();
    },
  };
};
