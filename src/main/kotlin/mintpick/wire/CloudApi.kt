package mintpick.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Machine type, one of `breeds` in the cloud's answer to `GET /machine_types`.
 *
 * [memoryGb] and [cacheGb] are in GB, [fetchGbPerS] is the rate at which images are fetched, [price] and [spotPrice] are per
 * hour, and [bootS] is the nominal boot time in seconds.
 */
@Serializable
data class MachineType(
    val name: String,
    @SerialName("vcpus") val cpus: Double,
    @SerialName("cards") val gpus: Double = 0.0,
    @SerialName("mem_gb") val memoryGb: Double,
    @SerialName("local_gb") val cacheGb: Double = 0.0,
    @SerialName("pull_gb_per_s") val fetchGbPerS: Double = 0.0,
    @SerialName("rate") val price: Double = 0.0,
    @SerialName("spot_price") val spotPrice: Double = 0.0,
    @SerialName("startup_s") val bootS: Double = 0.0,
    @SerialName("plots") val zones: List<String> = emptyList(),
)

/** The cloud's answer to `GET /machine_types`. */
@Serializable
data class MachineTypes(
    @SerialName("breeds") val types: List<MachineType>,
)

/** Body of `POST /rentals`. [request] (`hire`) is a unique id that makes the request idempotent; it must never be reused. */
@Serializable
data class RentalRequest(
    @SerialName("hire") val request: String,
    @SerialName("breed") val type: String,
    @SerialName("plot") val zone: String,
    @SerialName("windfall") val spot: Boolean,
    @SerialName("number") val count: Int,
)

/** Names of machines (`pickers`): the cloud's answer to `POST /rentals`, and the body of `POST /rentals/release`. */
@Serializable
data class MachineNames(
    @SerialName("pickers") val machines: List<String>,
)

/** Stage of a machine in the cloud's list (`stage`). */
@Serializable
enum class RentalStage {
    @SerialName("booting")
    BOOTING,

    @SerialName("running")
    RUNNING,

    @SerialName("failed")
    FAILED,
}

/** Machine in the cloud's answer to `GET /rentals`, one of `pickers`; [ageS] is the time in seconds since the rental request. */
@Serializable
data class ListedMachine(
    val id: String,
    @SerialName("endpoint") val address: String? = null,
    @SerialName("breed") val type: String,
    @SerialName("plot") val zone: String,
    @SerialName("windfall") val spot: Boolean,
    @SerialName("stage") val stage: RentalStage,
    @SerialName("age_s") val ageS: Double = 0.0,
)

/** The cloud's answer to `GET /rentals`: a page of machines ordered by name. [hasMore] (`has_next`): another page follows. */
@Serializable
data class MachineListPage(
    @SerialName("pickers") val machines: List<ListedMachine>,
    @SerialName("has_next") val hasMore: Boolean = false,
)
