package mintpick.core

import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.Priority

/** Resources that each task of the job needs. */
val JobSpec.demand: Resources get() = Resources(cpus, gpus, memoryGb, taskPlaces = 1.0)

/** Jobs that must be done before any task of this job may start. */
val JobSpec.predecessorIds: List<JobId> get() = predecessors.orEmpty().map(::JobId)

/** Whether the job's tasks are replicas that run until it is cancelled. */
val JobSpec.isService: Boolean get() = kind == JobKind.SERVICE

/** Whether the job's tasks only run together. */
val JobSpec.isGang: Boolean get() = kind == JobKind.GANG

/** Whether the job has the highest priority. */
val JobSpec.isProduction: Boolean get() = priority == Priority.PRODUCTION

/** Maximum number of the job's tasks in one zone: half of them, rounded up, for a spread job. */
val JobSpec.zoneCap: Int get() = if (spread) (tasks + 1) / 2 else tasks
