package mintpick.engine.capacity

import mintpick.core.BootKind
import mintpick.core.BootTimes
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Offer
import mintpick.core.SECOND
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.runtime.EngineContext
import org.slf4j.LoggerFactory

/** A machine that was rented, or listed by the cloud, and whose agent has not sent a heartbeat yet. */
class BootingMachine(
    val id: MachineId,
    val offer: Offer,
    /** When it was requested; derived from the machine's listed age if this process did not rent it. */
    val requestedUs: Micros,
) {
    /** Whether [BootTimes] already has a sample of this machine as overdue. */
    internal var isRecordedOverdue = false
    internal val kind get() = BootKind(offer.type, offer.zone)
}

/** Tracks booting machines and the boot times of each machine type and zone. Event-loop thread only. */
class BootingMachines(
    private val context: EngineContext,
    private val agents: AgentRegistry,
) {
    private val machines = LinkedHashMap<MachineId, BootingMachine>()
    private val bootTimes = BootTimes()

    /** All booting machines, in the order in which they became known. */
    val all: Collection<BootingMachine> get() = machines.values

    /** Adds a machine that the cloud has granted. Replaces an entry from the cloud's list, whose request time is less exact. */
    fun addRented(machine: BootingMachine) {
        machines[machine.id] = machine
    }

    /** Adds a machine found in the cloud's list, unless it is already known. */
    fun addListed(machine: BootingMachine) {
        machines.putIfAbsent(machine.id, machine)
    }

    /** Removes [machine], which is terminated. */
    fun remove(machine: MachineId) {
        machines.remove(machine)
    }

    /** Removes [machine], which is up, and records its boot time unless it was already recorded as overdue. */
    fun markBooted(machine: MachineId) {
        val booted = machines.remove(machine) ?: return
        val firstHeartbeatUs = agents.view(machine)?.firstContactUs ?: return
        val nominalUs = nominalBootUs(booted)
        if (booted.isRecordedOverdue || nominalUs <= 0) return
        bootTimes.recordBoot(booted.kind, (firstHeartbeatUs - booted.requestedUs).toDouble() / nominalUs)
    }

    /** Records a sample for each machine that has become overdue. */
    fun recordOverdue() = machines.values.forEach(::recordIfOverdue)

    private fun recordIfOverdue(machine: BootingMachine) {
        if (machine.isRecordedOverdue || !isBootingLongerThan(machine, BootTimes.OVERDUE_MULTIPLE)) return
        machine.isRecordedOverdue = true
        val wasSlow = bootTimes.isSlow(machine.kind)
        bootTimes.recordOverdue(machine.kind)
        if (!wasSlow && bootTimes.isSlow(machine.kind)) {
            LOG.warn("slow boots type={} zone={}", machine.offer.type, machine.offer.zone)
        }
    }

    /** Whether [machine] no longer counts as future capacity, so that a replacement is rented. */
    fun isLate(machine: BootingMachine): Boolean = isBootingLongerThan(machine, bootTimes.replaceAfterMultiple(machine.kind))

    /** Whether [machine] should be released. Some machines never come up, but are charged until released. */
    fun isBootFailed(machine: BootingMachine): Boolean {
        val nominalUs = nominalBootUs(machine)
        val bootLimitUs = (nominalUs * bootTimes.releaseAfterMultiple(machine.kind)).toLong()
        val limitUs = bootLimitUs + RELEASE_MARGIN + context.settings.listLagUs
        return nominalUs > 0 && context.now - machine.requestedUs > limitUs
    }

    /** Whether most recent machines of [offer]'s type and zone booted late or never, so that another offer is preferable. */
    fun isSlow(offer: Offer): Boolean = bootTimes.isSlow(BootKind(offer.type, offer.zone))

    private fun isBootingLongerThan(
        machine: BootingMachine,
        multiple: Double,
    ): Boolean {
        val nominalUs = nominalBootUs(machine)
        return nominalUs > 0 && context.now - machine.requestedUs > (nominalUs * multiple).toLong()
    }

    /** Boot time that the cloud states for the machine's type; 0 if the type is unknown. */
    private fun nominalBootUs(machine: BootingMachine): Micros {
        val bootS = context.cache.machineTypes[machine.offer.type]?.bootS ?: 0.0
        return (bootS * SECOND).toLong()
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(BootingMachines::class.java)

        /** Extra time before a release, on top of the multiple of the nominal boot time and the lag of the cloud's list. */
        const val RELEASE_MARGIN: Micros = 10 * SECOND
    }
}
